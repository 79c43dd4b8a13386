package gateway

import (
	"slices"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func TestEligibleExcludesLowCapacity(t *testing.T) {
	tests := []struct {
		name       string
		capacities []int
		want       []int
	}{
		{"equal", []int{272, 272, 272}, []int{0, 1, 2}},
		{"two large ones", []int{134, 800, 134, 800}, []int{1, 3}},
		{"smallest at two thirds of the largest", []int{100, 150}, []int{0, 1}},
		{"unknown capacities", []int{0, 0}, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var in []entity.Instance
			for i, c := range tt.capacities {
				in = append(in, entity.Instance{ID: entity.InstanceID(rune('a' + i)), Capacity: c})
			}
			var got []int
			for _, x := range eligible(in) {
				got = append(got, int(x.ID[0]-'a'))
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("eligible: got %v, want %v", got, tt.want)
			}
		})
	}
}

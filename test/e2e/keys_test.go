package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/medlarhold/medlarhold/internal/testbed"
)

// TestPeerKeyReplaced replaces the peer key without a restart, in two steps: first
// both keys are valid, then only the new one. Instances that start after either step
// must become members, and one with another key must not.
func TestPeerKeyReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	const fresh = "fresh-peer-key-0123456789"
	c.setPeerKeys(testbed.PeerKey + "\n" + fresh)
	c.join("a5")
	c.setPeerKeys(fresh)
	c.join("a6")
	c.checkServing("with the fresh key")
	c.must(os.WriteFile(filepath.Join(c.Dir, "peer.key"), []byte("another-peer-key-0123456789\n"), 0o600))
	unauthenticated := c.startNoWait("a7", c.InstanceSettings("a7", "a"))
	c.must(unauthenticated.WaitReady())
	c.must(testbed.Eventually(func() bool { return c.logged("peer refused") }))
	c.waitMembers(c.instances...)
	if n, err := unauthenticated.Metric("medlarhold_zone_members"); err != nil || n != 1 {
		t.Errorf("an instance with another key sees %v members (error %v), want 1", n, err)
	}
	c.check()
}

// setPeerKeys writes the key file and makes all instances reload it.
func (c *cluster) setPeerKeys(keys string) {
	c.t.Helper()
	c.must(os.WriteFile(filepath.Join(c.Dir, "peer.key"), []byte(keys+"\n"), 0o600))
	for _, in := range c.instances {
		c.must(in.Signal(syscall.SIGHUP))
	}
}

// join starts another instance and waits until all instances see it as a member.
func (c *cluster) join(name string) {
	c.t.Helper()
	c.instances = append(c.instances, c.startNoWait(name, c.InstanceSettings(name, "a")))
	c.waitMembers(c.instances...)
}

// logged reports whether any of the instances has logged the text.
func (c *cluster) logged(text string) bool {
	for _, in := range c.instances {
		name, _, _ := strings.Cut(string(in.ID), "-")
		data, err := os.ReadFile(filepath.Join(c.Dir, name+".log"))
		c.must(err)
		if strings.Contains(string(data), text) {
			return true
		}
	}
	return false
}

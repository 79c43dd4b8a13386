package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/medlarhold/medlarhold/internal/testbed"
)

// TestPeerKeyReplaced replaces the key between instances without a restart: in
// two steps, first both keys and then the fresh one, with instances that start in
// between.
func TestPeerKeyReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	const fresh = "fresh-peer-key-0123456789"
	c.setPeerKeys(testbed.PeerKey + "\n" + fresh)
	c.join("a5")
	c.setPeerKeys(fresh)
	c.join("a6")
	c.serves("with the fresh key")
	c.must(os.WriteFile(filepath.Join(c.Dir, "peer.key"), []byte("another-peer-key-0123456789\n"), 0o600))
	stranger := c.startOnly("a7", c.InstanceSettings("a7", "a"))
	c.must(stranger.WaitReady())
	c.must(testbed.Eventually(func() bool { return c.logged("peer refused") }))
	c.waitMembers(c.instances...)
	if n, err := stranger.Metric("medlarhold_zone_members"); err != nil || n != 1 {
		t.Errorf("an instance with another key sees %v members (%v)", n, err)
	}
	c.check()
}

// setPeerKeys writes the key file and has all instances read it.
func (c *cluster) setPeerKeys(keys string) {
	c.t.Helper()
	c.must(os.WriteFile(filepath.Join(c.Dir, "peer.key"), []byte(keys+"\n"), 0o600))
	for _, in := range c.instances {
		c.must(in.Signal(syscall.SIGHUP))
	}
}

// join starts one more instance and waits until it is a member.
func (c *cluster) join(name string) {
	c.t.Helper()
	c.instances = append(c.instances, c.startOnly(name, c.InstanceSettings(name, "a")))
	c.waitMembers(c.instances...)
}

// logged says whether any of the instances has logged the text.
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

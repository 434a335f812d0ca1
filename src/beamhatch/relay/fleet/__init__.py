"""Fleet membership, gossip between VMs, and watching the store."""

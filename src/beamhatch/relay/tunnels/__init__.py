"""Connections to upstreams by way of a peer, for VMs that lost their own links to them."""

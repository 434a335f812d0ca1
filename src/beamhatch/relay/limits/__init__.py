"""Request rate limits that upstreams announce, enforced jointly by all VMs."""

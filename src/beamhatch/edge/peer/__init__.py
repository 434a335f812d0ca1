"""The msgpack streams between entry VMs."""

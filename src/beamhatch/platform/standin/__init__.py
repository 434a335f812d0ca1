"""Stand-ins for the platform's store and upstreams that implement its protocols, for tests and local runs."""

"""Stand-ins of the platform's store and upstreams, which speak its pages' protocol; for tests and trials."""

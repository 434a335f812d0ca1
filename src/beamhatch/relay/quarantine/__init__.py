"""Detection and quarantine of requests that crash the upstreams that run them."""

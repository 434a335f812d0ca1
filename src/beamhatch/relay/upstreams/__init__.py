"""The upstreams: which there are, the HTTP client and the sends."""

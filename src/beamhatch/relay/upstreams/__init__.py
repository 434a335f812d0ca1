"""Upstreams: the listing, the HTTP client, and the attempts to send a request."""

"""HTTP server for callers, and the error responses of the relay itself."""

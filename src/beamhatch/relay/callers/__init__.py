"""Callers: the HTTP server, and what the relay answers itself."""

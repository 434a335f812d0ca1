"""Routing policies, one module a kind."""

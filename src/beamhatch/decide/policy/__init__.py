"""Routing policies."""

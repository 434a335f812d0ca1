"""Adapters to engines and plain services."""

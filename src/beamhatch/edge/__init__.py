"""Adapters to callers, upstreams, the platform, peers and operators."""

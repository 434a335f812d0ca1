"""Requests that end the upstreams that run them: how they are found, and kept from the rest."""

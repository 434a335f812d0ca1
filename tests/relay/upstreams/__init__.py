"""Tests of the upstreams package."""

"""Tests of upstreams."""

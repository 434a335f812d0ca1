"""Tests of the selection of upstreams."""

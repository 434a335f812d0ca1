"""Tests of requests."""

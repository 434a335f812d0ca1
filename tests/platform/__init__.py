"""Tests of the adapter of the platform."""

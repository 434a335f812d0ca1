"""Tests of the streams package."""

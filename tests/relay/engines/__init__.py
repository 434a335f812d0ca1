"""Tests of the engines package."""

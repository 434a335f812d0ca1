"""Tests of the tunnels package."""

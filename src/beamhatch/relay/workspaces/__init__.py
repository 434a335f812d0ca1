"""Workspaces: whose requests are taken, by which key, and how much of them."""

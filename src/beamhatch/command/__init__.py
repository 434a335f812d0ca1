"""Subcommands of beamhatchd."""

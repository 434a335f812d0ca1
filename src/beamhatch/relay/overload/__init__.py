"""The load of this VM's own resources."""

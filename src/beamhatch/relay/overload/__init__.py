"""Load of this VM's own resources, and the refusal of new connections that they do not hold."""

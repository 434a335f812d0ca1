"""Selection of the upstream that a request is sent to."""

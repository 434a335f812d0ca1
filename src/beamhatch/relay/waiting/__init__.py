"""The queue of requests for decode memory."""

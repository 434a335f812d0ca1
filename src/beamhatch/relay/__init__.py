"""The relay: passes HTTP requests on to upstreams by routes, in two stages where these prefill and decode apart.

``model`` to ``request`` decide and know neither clock nor socket; ``http_client`` to ``daemon`` own sockets and timers;
``api`` has the abstract classes that an adapter of a platform fills in.
"""

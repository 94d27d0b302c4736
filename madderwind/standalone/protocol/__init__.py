"""The protocols of callers, upstreams and discovery: parsing of bytes and headers, without any I/O."""

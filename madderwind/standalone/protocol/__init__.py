"""Headers, fields, load reports and discovery's JSON, to and from the module's types. No input or output."""

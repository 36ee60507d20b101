"""Messages and settings: protobuf schema and the code generated from it."""

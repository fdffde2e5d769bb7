"""Golden files: bytes and texts of the project that must not change, and what builds them; see README.md."""

"""The register: a small replicated log for what must be agreed (docs/design/store.md)."""

"""millweir: an outbound gateway that calls many partners' systems within their limits."""

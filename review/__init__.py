"""Cases of the independent review; see REPORT.md."""

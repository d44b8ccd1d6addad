"""Commands of operators, as a library over the operators' HTTP interface."""

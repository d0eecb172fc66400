"""The process that runs on each entry host: it takes jobs in and owns pools."""

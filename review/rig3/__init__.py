"""What the scripts of the third review share."""

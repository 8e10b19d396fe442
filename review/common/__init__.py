"""What the cases of the review share: stand-ins, and the platform that starts nodes."""

"""The file front: publishes the tables as files, one complete generation at a time, by an atomic rename."""

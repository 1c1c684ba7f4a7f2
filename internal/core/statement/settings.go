package statement

// SettingsSize returns the size of the names and values of a session's settings, in bytes.
func SettingsSize(settings map[string]string) int {
	size := 0
	for name, value := range settings {
		size += len(name) + len(value)
	}
	return size
}

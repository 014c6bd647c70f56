package pollenhttp

// IsFinalStatus reports whether a status is one of a final answer. Others are read as well if a server sends them, such as 000.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

package mysql

// optionMultiStatementsOff is the argument of COM_SET_OPTION that forbids several statements in a query, as they are
// on connections that did not ask for them.
const optionMultiStatementsOff = "\x01\x00"

// AppendSync appends the command that separates the answers to two commands: a COM_SET_OPTION that changes nothing. Its
// answer starts like no other command's: it is the end of a result set alone. The OK that answers COM_PING is an
// answer to a write, too.
func AppendSync(dst []byte) []byte { return AppendCommand(dst, ComSetOption, optionMultiStatementsOff) }

// CheckSync checks the only packet of the answer to AppendSync: an EOF packet or, for a peer with ClientDeprecateEOF, the
// OK packet that stands in its place.
func CheckSync(body []byte, sequence byte, caps uint32) error {
	if sequence != 1 {
		return ErrSequence
	}
	if len(body) == 0 || body[0] != 0xfe {
		return ErrMalformed
	}
	if isEOF(body) && len(body) == eofLen {
		return nil
	}
	_, err := ParseOK(body, caps)
	return err
}

// eofLen is the length of an EOF packet's payload: its first byte, the number of warnings and the status.
const eofLen = 5

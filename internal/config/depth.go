package config

import "bytes"

// maxDepth is the maximum nesting depth of arrays and objects in a file. The
// parser recurses once per level, so that deeper nesting could overflow the
// stack and end the process.
const maxDepth = 100

// tooDeep returns the offset at which a file exceeds maxDepth, or -1. It skips
// strings and comments, and leaves all other errors to the parser.
func tooDeep(src []byte) int {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '[', '{':
			if depth++; depth > maxDepth {
				return i
			}
		case ']', '}':
			depth--
		case '"':
			i = endOfString(src, i)
		case '/':
			i = endOfComment(src, i)
		}
	}
	return -1
}

// endOfString returns the offset of the quote that ends the string at i.
func endOfString(src []byte, i int) int {
	for i++; i < len(src) && src[i] != '"'; i++ {
		if src[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment at i.
func endOfComment(src []byte, i int) int {
	const opening = 2 // bytes of // and of /*
	end := "\n"
	switch {
	case bytes.HasPrefix(src[i:], []byte("/*")):
		end = "*/"
	case !bytes.HasPrefix(src[i:], []byte("//")):
		return i
	}
	n := bytes.Index(src[i+opening:], []byte(end))
	if n < 0 {
		return len(src)
	}
	return i + opening + n + len(end) - 1
}

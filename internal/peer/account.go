package peer

// exchangeOverheadBytes is what one exchange costs beside its parameters: the
// JSON-RPC envelope of the call and of its acknowledgement, as written by
// frameCodec with a method of seven letters and an id of six digits.
const exchangeOverheadBytes = 98

// countSent accounts for a message sent. All bytes of connections are counted
// at the connection; this tells how many of them a request caused.
func (t *Transport) countSent(k kind, paramBytes int) {
	if k.class != ClassRequest {
		return
	}
	t.opts.Metrics.RequestBytesSent.Inc(int64(paramBytes + exchangeOverheadBytes/2))
	t.opts.Metrics.RequestBytesReceived.Inc(exchangeOverheadBytes / 2)
}

// countReceived accounts for a message received, and for its acknowledgement.
func (t *Transport) countReceived(k kind, paramBytes int) {
	if k.class != ClassRequest {
		return
	}
	t.opts.Metrics.RequestBytesReceived.Inc(int64(paramBytes + exchangeOverheadBytes/2))
	t.opts.Metrics.RequestBytesSent.Inc(exchangeOverheadBytes / 2)
}

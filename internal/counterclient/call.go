package counterclient

import (
	"strconv"
	"time"

	"swiftpitch/internal/policy"
)

// pendingCall is one call to the counter service, from [Client.Add] to its response.
type pendingCall struct {
	key       uint64
	request   []byte // the HTTP request, ready to be written
	startedAt time.Time
	timer     *time.Timer
	completed bool // OnReply has received the outcome
}

func newPendingCall(host string, addition policy.AddToCounter) *pendingCall {
	return &pendingCall{
		key:       addition.Key,
		request:   formatRequest(host, addition),
		startedAt: time.Now(),
	}
}

// formatRequest returns the HTTP request of a call. The time to live is rounded up to whole
// milliseconds, because the service rejects a value below 1 ms.
func formatRequest(host string, addition policy.AddToCounter) []byte {
	ttl := max((addition.TTL+time.Millisecond-1)/time.Millisecond, 1)
	request := make([]byte, 0, 128)
	request = append(request, "POST /v2/numbers/"...)
	request = strconv.AppendUint(request, addition.Key, 10)
	request = append(request, "?delta="...)
	request = strconv.AppendFloat(request, addition.Units, 'f', -1, 64)
	request = append(request, "&life_ms="...)
	request = strconv.AppendInt(request, int64(ttl), 10)
	request = append(request, " HTTP/1.1\r\nHost: "...)
	request = append(request, host...)
	return append(request, "\r\nContent-Length: 0\r\n\r\n"...)
}

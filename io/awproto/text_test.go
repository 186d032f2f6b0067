package awproto_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awquarantine"
	"arbutuswind/core/awthrottle"
	"arbutuswind/io/awproto"
)

func ExampleText() {
	fmt.Println(awproto.Text("rota\xff"), awproto.Text("día"))
	// Output: rota� día
}

// Guards against a message that cannot be encoded because of bytes that a caller, a
// backend server or the store has sent.
func TestMessagesCanAlwaysBeEncoded(t *testing.T) {
	const bad = "a\xff\xfe"
	now := time.Unix(1000, 0)
	failure := &awoutcome.Error{Reason: awoutcome.EngineFailed, Detail: bad, Engine: bad}
	for _, m := range []proto.Message{
		awproto.NewFacts(awquarantine.Facts{
			Crashes: []awquarantine.Crash{{Engine: bad, Request: bad, Parts: []string{bad}}},
			Sound:   []awquarantine.Sound{{Part: bad}}, Refuted: []awquarantine.Refutation{{Engine: bad}},
		}, now),
		awproto.NewNotice(awthrottle.Notice{Server: awdirectory.Key{ID: bad}}, now),
		awproto.NewRefusal(failure, 1),
		awproto.NewFailure(failure),
	} {
		_, err := proto.Marshal(m)
		require.NoError(t, err)
	}
}

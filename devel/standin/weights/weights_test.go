package weights

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two concurrent transfers that together exceed the store's rate.
func TestRateIsSharedByAllReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Config{BytesPerSecond: 1 << 20, Sizes: map[string]int64{"menu": 5 << 20}})
		start := time.Now()
		lengths := make(chan int, 2)
		for range 2 {
			go func() {
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/weights/menu", nil))
				lengths <- w.Body.Len()
			}()
		}
		c.Assert(<-lengths+<-lengths, qt.Equals, 10<<20)
		synctest.Wait()
		took := time.Since(start)
		c.Assert(took > 9*time.Second && took < 11*time.Second, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(s.Transfers(), qt.HasLen, 2)
	})
}

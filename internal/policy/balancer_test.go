package policy_test

import "testing"

func TestGatewayUsesSubsetOfEndpoints(t *testing.T) {
	// Incident i530123: hundreds of gateways were each connected to every endpoint, and had too few recent
	// outcomes of any of them.
	usedBy := func(gatewayIndex int) map[string]bool {
		settings := testSettings()
		settings.Gateways, settings.GatewayIndex = 200, gatewayIndex
		h := newHarness(t, settings, 100)
		used := map[string]bool{}
		for range 500 {
			id, actions := h.receive(0, 1, 1, 1)
			for _, attempt := range startedAttempts(actions) {
				used[attempt.Endpoint] = true
				h.succeed(id, attempt)
			}
		}
		return used
	}
	usedByAny := map[string]bool{}
	for gatewayIndex := range 40 {
		used := usedBy(gatewayIndex)
		if len(used) > 25 || len(used) < 8 {
			t.Errorf("gateway %d uses %d of 100 endpoints, want 8 to 25", gatewayIndex, len(used))
		}
		for endpoint := range used {
			usedByAny[endpoint] = true
		}
	}
	if len(usedByAny) < 95 {
		t.Errorf("40 gateways together use %d of 100 endpoints, want at least 95", len(usedByAny))
	}
}

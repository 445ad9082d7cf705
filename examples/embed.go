// Package examples embeds the questionnaires of the two deployments.
package examples

import _ "embed"

// Trust is the questionnaire of the Trust's deployment.
//
//go:embed trust.yaml
var Trust []byte

// Cooperative is the questionnaire of the Co-operative's deployment.
//
//go:embed cooperative.yaml
var Cooperative []byte

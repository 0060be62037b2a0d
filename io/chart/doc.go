// Package chart writes the measured runs of capacity plans as a table or as a
// plot of the buffer against late work.
//
// # Usage
//
//	rows, err := chart.Read(file)
//	err = chart.WriteCSV(out, rows)
//	err = chart.WriteSVG(out, "Buffer against late work", rows)
package chart

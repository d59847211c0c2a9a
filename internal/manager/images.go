package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// imageCache models the images on a machine's disk, by name: the most recently used ones, as many as it holds.
type imageCache map[string]*cachedImage

type cachedImage struct {
	sizeGB   float64
	lastUsed micros.Timestamp
	ready    bool // else it is being fetched
}

// ready reports whether an image is there.
func (cache imageCache) ready(name string) bool {
	image := cache[name]
	return image != nil && image.ready
}

// use records that a task uses an image, or has it fetched, and drops the images that the disk has no room for then.
// capacityGB 0: not known, any number of them fits.
func (cache imageCache) use(now micros.Timestamp, spec *wire.Job, ready bool, capacityGB float64) {
	image := cache[spec.Image]
	if image == nil {
		image = &cachedImage{}
		cache[spec.Image] = image
	}
	image.sizeGB, image.lastUsed = spec.ImageGB, now
	image.ready = image.ready || ready
	if capacityGB == 0 {
		return
	}
	for {
		totalGB, oldest := cache.leastRecentlyUsed(now)
		if totalGB <= capacityGB || oldest == "" {
			return
		}
		delete(cache, oldest)
	}
}

// leastRecentlyUsed returns the size of all images, and the name of the one to drop first: it is there and was not used
// just now; empty: there is none.
func (cache imageCache) leastRecentlyUsed(now micros.Timestamp) (totalGB float64, oldest string) {
	for name, image := range cache {
		totalGB += image.sizeGB
		if image.lastUsed == now || !image.ready {
			continue
		}
		if oldest == "" || image.lastUsed < cache[oldest].lastUsed ||
			image.lastUsed == cache[oldest].lastUsed && name < oldest {
			oldest = name
		}
	}
	return totalGB, oldest
}

// dropAbandonedFetches drops the images that were being fetched for tasks that are gone.
func (cache imageCache) dropAbandonedFetches(now micros.Timestamp) {
	for name, image := range cache {
		if !image.ready && image.lastUsed != now {
			delete(cache, name)
		}
	}
}

// names returns the names of the images that are there and of those being fetched, each sorted.
func (cache imageCache) names() (ready, fetching []string) {
	for _, name := range slices.Sorted(maps.Keys(cache)) {
		if cache[name].ready {
			ready = append(ready, name)
		} else {
			fetching = append(fetching, name)
		}
	}
	return ready, fetching
}

// useImage records that a task of a job uses its image on a machine, or has it fetched.
func (machine *machineState) useImage(now micros.Timestamp, spec *wire.Job, ready bool) {
	capacityGB := 0.0
	if machine.machineType != nil {
		capacityGB = machine.machineType.CacheGB
	}
	machine.images.use(now, spec, ready, capacityGB)
}
